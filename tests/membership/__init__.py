"""Tests of membership and server tables."""
