"""Configuration of a node: the platform's environment and JSON file, and the operator's TOML file, as typed values."""
