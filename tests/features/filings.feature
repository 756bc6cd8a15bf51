Feature: A filing runs at most once and its caller gets an accurate verdict
  An infraction notice that is executed twice fines a citizen twice, and a lost notice
  imposes no fine at all. The caller of a filing is therefore told whether it ran, did not
  run or may have run, and only a filing that certainly did not run is sent again.

  Scenario Outline: The upstream fails at some point of the exchange
    Given an entry instance with one healthy and one failing upstream
    And the failing upstream <failure>
    When a caller files a notice
    Then the caller is told that the notice <verdict>
    And the notice has run <runs>

    Examples: The failing upstream certainly did not run the notice
      | failure                                | verdict | runs |
      | refuses connections                    | ran     | once |
      | does not answer connections            | ran     | once |
      | refuses the notice before running it   | ran     | once |

    Examples: Only the failing upstream can know whether it ran the notice
      | failure                                | verdict      | runs  |
      | closes before it reads the headers     | may have run | never |
      | closes in the middle of the body       | may have run | never |
      | closes after the body                  | may have run | once  |
      | closes in the middle of its answer     | may have run | once  |
      | answers after the deadline             | may have run | once  |
      | answers for another notice             | may have run | once  |
      | reports an error after running it      | may have run | once  |

  Scenario: The failing upstream closes a connection that was kept open
    Given an entry instance with one healthy and one failing upstream
    And an earlier notice left a connection to the failing upstream open
    And the failing upstream closes after the body
    When a caller files a notice
    Then the caller is told that the notice may have run
    And the notice has run once

  Scenario: The caller leaves in the middle of its notice
    Given an entry instance with one healthy and one failing upstream
    When a caller disconnects while sending a notice
    Then the notice has run never

  Scenario: The caller leaves before it hears the answer
    Given an entry instance with one healthy and one failing upstream
    When a caller disconnects after sending a notice
    Then the notice has run once
