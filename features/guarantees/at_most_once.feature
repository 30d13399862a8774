Feature: A non-idempotent request runs at most once

  Scenario: Answers of submissions are lost and callers resend elsewhere
    Given a running system
    And callers who send queries and submissions
    When every server loses the answers of submissions
    And 3 seconds pass
    Then submissions were told "unknown"
    When the servers answer again
    And 3 seconds pass
    Then every submission ran at most once
    And submissions were told "done"
    And no guarantee is broken

  Scenario: A resend through another daemon gets the first response
    Given a running system
    Then a submission is told "done"
    And the same submission sent again is told nothing else

  Scenario: The control leader is lost while submissions run
    Given a running system
    And callers who send queries and submissions
    When the control leader is killed
    And 4 seconds pass
    Then every submission ran at most once
    And submissions were told "done"
    And no guarantee is broken
