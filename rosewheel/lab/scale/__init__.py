"""The scale run: a fleet of simulated and real nodes on loopback, behind a network that injects faults.

`planning` makes the plan from a seed, `fleet` starts the processes, `run` carries out the plan, `summary` checks the
measurements against the targets, and `report_codec` writes the results as JSON and CSV.
"""
