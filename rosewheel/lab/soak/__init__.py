"""A soak of real node processes: overlapping faults drawn by a seed, judged by what clients and servers saw."""
