"""Tests of the dissemination of configuration."""
