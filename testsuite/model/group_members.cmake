model_case(group_members_holds group_members.pml holds)
# Broken variants that must give a counterexample.
foreach(variant UNHEARD_IS_ABSENT REBORN_HOLDS LEAVE_AT_ONCE REBORN_PRIMARY_IN_OFFICE SKIP_UNUSABLE)
  string(TOLOWER ${variant} name)
  model_case(group_members_${name} group_members.pml violated -D${variant})
endforeach()
