# Enables the reconciliation that docs/recovery.md describes: a new leader compares the
# tasks that machines list in their heartbeats with its records. Meanwhile it holds back
# provisioning, preemptions and releases that may turn out not to be needed. More of them are
# held back after a restart of all controllers than after another change of leader.
# docs/operations.md explains each setting.

recovery = True      # False: no operation is held back; differences are still listed
recovery_wait_s = 0  # maximum wait for heartbeats; 0: computed from report_s and lease_s
trace_file = ""      # file for spans of reconciliations and placement rounds; "-": standard output
