"""What the users' platform speaks, decoded into the product's types.

The only package that knows its names. It translates and decides nothing.
"""
