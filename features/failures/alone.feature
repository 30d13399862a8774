Feature: Every tolerated failure, alone

  Scenario Outline: A failure begins and ends under load
    Given a running system
    And callers who send queries and submissions
    When <failure>
    And 3 seconds pass
    And the cuts are healed
    And 2 seconds pass
    And what follows is watched
    And 1 seconds pass
    Then all watched responses cover every shard
    And no guarantee is broken

    Examples:
      | failure                                          |
      | server "a0" turns cold without warning           |
      | server "a0" crashes and starts again 4 times     |
      | a control daemon that does not lead is cut off silently |
      | the control leader is cut off silently           |
      | a control daemon loses its disk and is repaired  |
      | the home of server "a0" is killed                |
      | the home of server "a0" is cut off               |
      | data centre "dc2" is cut off                     |
      | messages between daemons are delayed, doubled and reordered |

  Scenario: Processes are restarted after hundreds of configuration changes
    Given a running system
    When operators make 300 changes
    And all control daemons are killed and start again
    And the home of server "a0" is killed and starts again
    Then the accepted configuration is in force everywhere within 4 s
    And no daemon's revision ever went back

  Scenario: Operators resend while there is no majority
    Given a running system
    When the majority of control daemons is killed
    And an operator's change is sent without a majority
    Then it is not accepted
