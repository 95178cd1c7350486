"""Runs the command as `python -m rosewheel.cli`, without its installed script."""

from rosewheel.cli.main import main

if __name__ == "__main__":
    main(prog_name="rosewheel")
