model_case(control_log_holds control_log.pml holds)
# Broken variants that must give a counterexample.
model_case(control_log_vote_after_disk_loss control_log.pml violated -DVOTE_AFTER_DISK_LOSS)
model_case(control_log_no_sync_before_ack control_log.pml violated -DNO_SYNC_BEFORE_ACK)
model_case(control_log_swap_in_one_entry control_log.pml violated -DSWAP_IN_ONE_ENTRY)
