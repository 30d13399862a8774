Feature: A refusal that says "not run" means that the request did not run

  Scenario: No server of any shard accepts a connection
    Given a running system
    When server "a0" crashes
    And server "a1" crashes
    And server "b0" crashes
    And server "b1" crashes
    And server "c0" crashes
    And server "c1" crashes
    Then a submission is told "not_run"

  Scenario: The ledger has no majority
    Given a running system
    And callers who send queries and submissions
    When the majority of control daemons is killed
    And 2 seconds pass
    Then a submission is told "unknown"
    And submissions were told "unknown"
    And no guarantee is broken

  Scenario: Servers crash and start again while submissions run
    Given a running system
    And callers who send queries and submissions
    When server "a0" crashes and starts again 3 times
    And server "b1" crashes and starts again 3 times
    And 3 seconds pass
    Then every submission ran at most once
    And no guarantee is broken
