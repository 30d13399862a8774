"""Command line of the operators, ``bramleyctl``."""
