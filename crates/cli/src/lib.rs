//! almondpass: the command-line tool for callers and operators.
