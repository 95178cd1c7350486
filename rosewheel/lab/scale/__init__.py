"""The scale run: a fleet of simulated and real nodes on loopback, behind a network that injects faults.

Where to look: `planning` decides by seed, `fleet` starts the processes, `run` carries the plan out, `summary` checks
the measurements against the targets, and `report_codec` writes them as JSON and CSV.
"""
