"""Loads the configuration: merges and checks a folder of YAML files."""
