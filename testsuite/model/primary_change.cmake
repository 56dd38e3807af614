# The rules of the change of primary, and one broken variant for each rule.
set(PRIMARY_CHANGE_MODEL ${CMAKE_CURRENT_LIST_DIR}/primary_change.pml)
add_test(NAME model_primary_change
         COMMAND ${CMAKE_CURRENT_LIST_DIR}/run_model ${PRIMARY_CHANGE_MODEL} "" holds)
set_tests_properties(model_primary_change PROPERTIES LABELS model TIMEOUT 300)
foreach(variant NO_FENCE ACK_WITHOUT_MAJORITY COMPARE_POSITION_ACROSS_TERMS
        MAJORITY_OF_ANNOUNCING HIGHEST_TERM_WINS PUBLISH_WITHOUT_CONFIRM SHARED_TERM)
  string(TOLOWER ${variant} name)
  add_test(NAME model_primary_change_${name}
           COMMAND ${CMAKE_CURRENT_LIST_DIR}/run_model ${PRIMARY_CHANGE_MODEL} -D${variant} violated)
  set_tests_properties(model_primary_change_${name} PROPERTIES LABELS model TIMEOUT 300)
endforeach()
