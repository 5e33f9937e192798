"""The command-line tool for operators, `medlarhoist`."""
