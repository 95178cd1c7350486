"""Compares digests of simulated runs, to check that a refactoring changes no decision.

    python benchmarks/digests.py --write FILE     # before the change
    python benchmarks/digests.py --compare FILE   # after it; exits with 1 if a digest differs

Each scenario is simulated under each seed. Equal digests mean that the records of both runs are equal byte for byte.
Scenarios that cannot be simulated count as "not simulated"; those in TOO_LARGE are skipped.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

SCENARIOS = Path(__file__).parent.parent / "rosewheel" / "lab" / "scenarios"
TOO_LARGE = frozenset({"at-size"})  # one run takes half an hour
BAD_INPUT = 2  # exit code for a scenario that the command rejects


def digest(scenario: str, seed: int, seconds: float) -> str:
    """Return the digest of one run's records, or "not simulated" if the scenario cannot be simulated.

    A scenario with a fault later than `seconds` runs for its own length.
    """
    command = [sys.executable, "-m", "rosewheel.cli", "simulate", scenario, "--seed", str(seed)]
    for length_options in (["--seconds", str(seconds)], []):
        run = subprocess.run([*command, *length_options], capture_output=True, text=True, check=False)
        if run.returncode != BAD_INPUT:
            return str(json.loads(run.stdout.splitlines()[-1])["digest"])
    return "not simulated"


def main() -> int:
    """Simulate the scenarios, and write their digests or compare them with those of a file."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    target = parser.add_mutually_exclusive_group(required=True)
    target.add_argument("--write", type=Path, metavar="FILE")
    target.add_argument("--compare", type=Path, metavar="FILE")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("scenarios", nargs="*", help="names of scenarios; by default all")
    arguments = parser.parse_args()
    names = arguments.scenarios or sorted(path.stem for path in SCENARIOS.glob("*.toml"))
    runs = [(name, seed) for name in names if name not in TOO_LARGE for seed in arguments.seeds]
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(arguments.jobs, mp_context=spawn) as pool:
        digests = pool.map(
            digest,
            [name for name, _ in runs],
            [seed for _, seed in runs],
            [arguments.seconds] * len(runs),
        )
        current = {f"{name} seed {seed}": value for (name, seed), value in zip(runs, digests, strict=True)}
    if arguments.write:
        arguments.write.write_text(json.dumps(current, indent=1) + "\n", encoding="utf-8")
        print(f"{len(current)} digests written")
        return 0
    before = json.loads(arguments.compare.read_text(encoding="utf-8"))
    differing = [key for key, value in current.items() if before.get(key) != value]
    for key in differing:
        print(f"{key}: {before.get(key)} before, {current[key]} now")
    print(f"{len(current) - len(differing)} digests equal, {len(differing)} different")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
