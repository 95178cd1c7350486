"""Soak tests of real node processes under overlapping faults that a seed draws."""
