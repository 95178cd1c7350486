"""The `rosewheel` command."""
