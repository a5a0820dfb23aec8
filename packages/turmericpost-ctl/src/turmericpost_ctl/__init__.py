"""``turmericpostctl``, the command for operators of turmericpost."""
