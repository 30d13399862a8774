"""Randomized, seeded faults on real processes, judged from outside."""
