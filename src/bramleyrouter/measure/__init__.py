"""Measurements against a naive fan-out baseline."""
