"""Entry VMs: who is here, who owns what, which addresses to hand out."""
