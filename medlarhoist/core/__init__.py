"""Pure records and decisions; modules here do no input or output."""
