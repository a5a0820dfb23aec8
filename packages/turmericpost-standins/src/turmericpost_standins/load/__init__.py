"""Load generator that measures the latency an entry VM adds."""
