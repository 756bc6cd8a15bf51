"""The command-line tool for the operators' declarations."""
