"""Configuration of a node as typed values: the platform's variables and JSON file, or the operator's TOML file."""
