//! What a process is told: command-line arguments and the settings file, merged once and checked.
