Feature: Pairs of tolerated failures

  Scenario Outline: A second failure begins while the first lasts
    Given a running system
    And callers who send queries and submissions
    When <first>
    And <second>
    And 3 seconds pass
    And the cuts are healed
    And 2 seconds pass
    And what follows is watched
    And 1 seconds pass
    Then all watched responses cover every shard
    And no guarantee is broken

    Examples:
      | first                                 | second                                  |
      | two operators publish generation 2 at once | the control leader is killed       |
      | the home of server "a0" is killed     | data centre "dc2" is cut off            |
      | the data supplier moves the servers to "v1,v2" one after the other | server "a0" crashes |
      | the control leader is cut off silently | an operator sends the same request twice |
      | a control daemon loses its disk and is repaired | a second control daemon is killed right after |
      | the home of server "a0" is cut off    | server "a0" crashes and starts again    |
      | the home of server "a0" is killed and starts again | the home of server "a0" is killed and starts again |
      | operators take data centre "dc1" out  | the home of server "b0" is killed       |
      | data centre "dc1" is cut off          | the control leader is killed and starts again |
      | the control leader is killed and starts again | the control leader is killed and starts again |
      | server "a0" turns cold without warning | the home of server "a1" is cut off     |

  Scenario: A server starts cold during an overload
    Given a running system
    And callers who send 30 queries at a time
    When server "b0" starts again cold
    And server "b0" starts again cold
    And 1 seconds pass
    Then no cold server got more than one request at a time
    And no server ever had more requests in flight than it declared
    And no guarantee is broken
