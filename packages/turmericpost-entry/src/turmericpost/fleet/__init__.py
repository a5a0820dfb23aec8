"""What entry VMs know together: peers, configuration, backend servers."""
