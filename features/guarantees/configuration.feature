Feature: An accepted configuration is in force everywhere within 4 s and never reverts

  Scenario: The leader is killed right after it accepted
    Given a running system
    And callers who send queries and submissions
    When operators publish generation 2 with "v1"
    And the control leader is killed
    Then the accepted configuration is in force everywhere within 4 s
    And no daemon's revision ever went back
    And no guarantee is broken

  Scenario: All control daemons are killed right after they accepted
    Given a running system
    When operators publish generation 2 with "v1"
    And all control daemons are killed and start again
    Then the accepted configuration is in force everywhere within 4 s
    When operators publish generation 3 with "v1"
    Then the accepted configuration is in force everywhere within 4 s
    And no daemon's revision ever went back

  Scenario: Operators race with equal generation numbers
    Given a running system
    When two operators publish generation 2 at once
    Then one publication won and the other names it
    And the accepted configuration is in force everywhere within 4 s
    When an operator sends the same request twice
    Then no daemon's revision ever went back
