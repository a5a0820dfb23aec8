"""Decision core of turmericpost: events in, decisions out, no I/O."""
