Feature: The real programs over sockets on loopback

  Scenario: Stops, kills and strangers
    Given three control daemons, six entry daemons and stand-ins as processes
    Then a wrong operators' token is refused everywhere
    When callers send queries while all entry daemons are restarted by SIGTERM
    Then no query was cut off or answered wrongly
    When a configuration is accepted and a control daemon is killed with SIGKILL
    Then the accepted configuration is still in force after its restart
