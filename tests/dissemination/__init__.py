"""Tests of how the accepted configuration reaches every daemon."""
