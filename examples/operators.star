# The operators' own settings. What is left out keeps its default; names that
# start with _ are the script's own. docs/operations.md explains each setting.

_patient = 2.0 # starts are probed a little longer than by default

ack_wait_s = 1.5
probe_count = 6
default_budget_s = 60 * _patient

error_backoff_s = 0.5
error_backoff_max_s = 60

spare_share = 0.5      # half of what is in use stands ready
idle_release_s = 600
max_machines = 64
use_spot = True
preempt = True
boot_patience = 3.0
