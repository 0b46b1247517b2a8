Feature: What must always hold, with the real processes under failure

  Background:
    Given a system of two zones behind relays

  Scenario: A job's scheduler dies while it runs
    Given a non-idempotent job that runs for 3 s in z1
    When the active instance of z1 is killed
    Then the job is answered completed within 20 s
    And the job was started once

  Scenario: A job's scheduler is frozen while it runs and wakes up
    Given a non-idempotent job that runs for 3 s in z1
    When the active scheduler of z1 is frozen for 5 s
    Then the job is answered completed within 20 s
    And the job was started once
    And z1 has one active scheduler within 10 s

  Scenario: The log is down
    When the log is down
    Then a non-idempotent job is refused as not run
    And an idempotent job is completed within 20 s

  Scenario: A zone is cut off from the log and from other zones
    When z2 is cut off from all but its own
    Then an idempotent job sent to z2 is completed within 20 s
    And a non-idempotent job sent to z2 is refused as not run
    When the cuts are healed
    Then a non-idempotent job sent to z2 is completed within 20 s

  Scenario: Rules reach a zone that has lost the platform but not its peers
    When z2 is cut off from the log
    And rules are published in z1
    Then every instance has the new version within 5 s

  Scenario: The log forgets what is older than its snapshots
    Given 30 jobs have completed
    When the log keeps only what follows the newest snapshot
    And an instance of z2 is replaced by a new one
    Then the new instance is ready within 10 s
    And a retry of the first job through it is the same job

  Scenario: A new instance starts while the log is down
    Given 1 jobs have completed
    When the log is down
    And an instance of z2 is replaced by a new one
    Then the new instance is ready within 15 s

  Scenario: Every instance is replaced in turn under load
    When every instance is drained and replaced in turn under load
    Then every request was answered and none was cut off

  Scenario: All open connections of an instance go silent
    When the open connections of the active instance of z1 go silent
    Then an idempotent job sent to z1 is completed within 20 s

  Scenario: A leaving endpoint gets nothing new
    When an endpoint of z1 is listed as leaving
    Then it is given nothing new after 3 s
