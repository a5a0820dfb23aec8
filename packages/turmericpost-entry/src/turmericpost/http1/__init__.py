"""HTTP/1.1 on Twisted transports."""
