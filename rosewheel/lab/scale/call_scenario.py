"""Lab scenario for the calls of a scale run."""

from __future__ import annotations

from rosewheel.config.toml_file import parse_tables
from rosewheel.config.typed_tables import convert_tables
from rosewheel.lab.scale.options import Options
from rosewheel.lab.scenario import Scenario

DIRECT_PREFIX = "direct"  # prefix of names of targets that are servers, called without a node
REAL_NODES_PER_DIRECT_TARGET = 4
MAX_SERVERS = 24
MIN_RATE_PER_S = 0.1
# The servers have capacity for all calls, so that queueing does not add to the measured latency.
SCENARIO = """
name = "scale"
seconds = 60

[[class]]
name = "read"
share = 1.0
work_ms = 5
cv = 0
aim_ms = 1000
give_up_ms = 3000
effect = "safe"

[clients]
rate_per_s = 10
retries = 0

[[tier]]
name = "equipos"
work = 1.0
connections_per_core = 1000
connection_tax = 0
handshake_ms = 0
probe_ms = 0

[[tier.kind]]
name = "equipo"
count = 1
cores = 16
slots = 64
queue = 8
pause_ms = 0
"""


def direct_targets(options: Options) -> int:
    """Return the number of servers that are also called directly, for comparison."""
    return -(-options.real // REAL_NODES_PER_DIRECT_TARGET)


def call_scenario(options: Options) -> Scenario:
    """Return the scenario, with the total call rate and the number of servers for these options."""
    rate_per_s = max(MIN_RATE_PER_S, options.calls * (options.real + direct_targets(options)))
    rows = parse_tables(SCENARIO, "scale")
    rows["seconds"] = options.seconds
    rows["clients"]["rate_per_s"] = rate_per_s
    rows["tier"][0]["kind"][0]["count"] = min(options.real, MAX_SERVERS)
    return convert_tables(rows, Scenario, "scale")
