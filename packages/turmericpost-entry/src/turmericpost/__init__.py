"""Entry VM process of the turmericpost load balancer."""
