"""Administration over HTTP."""
