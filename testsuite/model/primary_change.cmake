model_case(primary_change_holds primary_change.pml holds)
model_case(primary_change_holds_longer_logs primary_change.pml holds -DLENGTH=3)
# Broken variants that must give a counterexample.
foreach(variant NO_FENCE ACK_WITHOUT_MAJORITY COMPARE_POSITION_ACROSS_TERMS
        MAJORITY_OF_ANNOUNCING HIGHEST_TERM_WINS PUBLISH_WITHOUT_CONFIRM SHARED_TERM)
  string(TOLOWER ${variant} name)
  model_case(primary_change_${name} primary_change.pml violated -D${variant})
endforeach()
