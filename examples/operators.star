# The operators' own settings. A setting that is left out keeps its default. Names that
# start with _ are private to the script. docs/operations.md explains each setting.

_patient = 2.0 # multiple of the default time budget, so that starts are retried for longer

ack_wait_s = 1.5
probe_count = 6
default_budget_s = 60 * _patient

error_backoff_s = 0.5
error_backoff_max_s = 60

spare_share = 0.5      # free capacity kept ready, as a share of the capacity in use
idle_release_s = 600
max_machines = 64
use_spot = True
preempt = True
boot_patience = 3.0
