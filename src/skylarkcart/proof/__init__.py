"""Randomised runs, deliberate faults and model checks."""
