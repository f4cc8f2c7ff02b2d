"""The folder of YAML files: merged by name, checked, findings with place."""
