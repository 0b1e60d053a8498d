Feature: What must hold while instances, the store and workers fail

  Scenario: A job of independent tasks is served
    Given a deployment of three instances
    When a job of three tasks is accepted
    Then it is shown as succeeded
    And no task ran twice

  Scenario: A caller that asks as the last task ends learns of the end at once
    Given a deployment of three instances
    When a job of three tasks is accepted
    And its last task has just ended
    Then the first question at each instance is answered with its end

  Scenario: An urgent gang takes the room that a guarantee gives it
    Given a deployment of three instances
    And every accelerator runs patient work
    When an urgent gang is accepted
    Then it begins within the bound of reclaim
    And it is shown as succeeded

  Scenario: The owner is killed while work runs
    Given a deployment of three instances
    When a job of three tasks is accepted
    And the owner is killed once its tasks run
    Then it is shown as succeeded
    And no task ran twice

  Scenario: The owner is suspended and comes back after another took over
    Given a deployment of three instances
    When a job of three tasks is accepted
    And the owner is paused for four seconds once its tasks run
    Then it is shown as succeeded
    And no task ran twice

  Scenario: Every instance is killed right after the acceptance
    Given a deployment of three instances
    When a job of three tasks is accepted
    And every instance is killed and started again
    Then it is shown as succeeded
    And no task ran twice

  Scenario: The owner is asked to stop and hands the pool over
    Given a deployment of three instances
    When a job of three tasks is accepted
    And the owner is asked to stop once its tasks run
    Then another instance owns the pool within two seconds
    And the owner ended without an error
    And it is shown as succeeded
    And no task ran twice

  Scenario: The store is away while work ends
    Given a deployment of three instances
    When a job of three tasks is accepted
    And the store is silent for three seconds once its tasks run
    Then it is shown as succeeded
    And no task ran twice

  Scenario: Workers' entries have lapsed when another owner takes over
    Given a deployment of three instances
    When a job of three tasks is accepted
    And its tasks end while the store is away
    And the entries of the workers that ran it lapse and the owner is killed
    Then it is shown as succeeded
    And no task ran twice

  Scenario: The store forgets its history
    Given a deployment of three instances
    When the store forgets its history
    And a job of three tasks is accepted
    Then it is shown as succeeded
    And the store is not asked more often than it should be

  Scenario: Answers of the store are lost
    Given a deployment of three instances
    When half of the answers to writes are lost
    And a job of three tasks is accepted
    Then it is shown as succeeded
    And no task ran twice

  Scenario: Orders are answered by nobody and carried out late
    Given a deployment of three instances
    When a third of the orders to workers is carried out late
    And a job of three tasks is accepted
    Then it is shown as succeeded
    And no task ran twice

  Scenario: A cancelled job stops
    Given a deployment of three instances
    When a long job is accepted
    And it is cancelled
    Then it is shown as cancelled
    And nothing of it runs

  Scenario: Tasks are started late, after their job was cancelled
    Given a deployment whose leases outlast a takeover
    When orders to workers are left unanswered and carried out late
    And a long job is accepted and its tasks are ordered
    And it is cancelled
    And its tasks begin
    And orders to workers are answered again
    Then nothing of it runs
    And all that ran of it was stopped

  Scenario: Tasks are started late by an owner that is gone
    Given a deployment whose leases outlast a takeover
    When orders to workers are left unanswered and carried out late
    And a long job is accepted and its tasks are ordered
    And the owner is killed
    And it is cancelled
    And orders to workers are answered again
    And its tasks begin
    Then nothing of it runs
    And all that ran of it was stopped

  Scenario: The owner of tasks that run is gone and their job's record was removed
    Given a deployment whose leases outlast a takeover
    When a long job is accepted
    And the owner is killed
    And its record is removed from the store
    Then nothing of it runs
    And all that ran of it was stopped

  Scenario: The next owner learns of a cancelled job's workers only long after its takeover
    Given a deployment whose leases outlast a takeover
    When a long job is accepted
    And the owner is killed
    And it is cancelled
    And the workers' entries lapse and the workers are silent for five seconds
    Then nothing of it runs
    And all that ran of it was stopped

  Scenario: A worker vanishes with what it runs
    Given a deployment of three instances
    When a job of three tasks is accepted
    And a worker that runs some of it vanishes
    Then it is shown as succeeded

  Scenario: A worker that leaves is cut off and runs on until its lease ends
    Given a deployment of three instances
    When a long job is accepted
    And a worker that runs some of it says that it leaves and is cut off
    Then its tasks run on other workers
    And no task ran twice

  Scenario: The same job is handed in at every instance
    Given a deployment of three instances
    When the same job is handed in at every instance
    Then it is shown as succeeded
    And no task ran twice

  Scenario: A refusal is true and says when to come back
    Given a deployment of three instances
    When the store refuses every call
    Then a job is refused with a time to come back
    And it never runs

  Scenario: Keys that are taken away are refused everywhere
    Given a deployment of three instances
    When the key is replaced by another
    Then the old key is refused at every instance within two seconds
    And the new key is taken

  Scenario: An outside policy consents to some workers only
    Given a deployment whose policy consents to half of the workers
    When a job of three tasks is accepted
    Then it is shown as succeeded
    And it ran on those workers with valid tickets only
    And no task ran twice

  Scenario: A task that crashes each worker that starts it is given up
    Given a deployment of three instances
    When a job is accepted whose task crashes each worker that starts it
    Then it is shown as failed
    And no more than five workers have crashed under it

  Scenario: The owner is killed while a task crashes one worker after the other
    Given a deployment of three instances
    When a job is accepted whose task crashes each worker that starts it
    And the owner is killed once two workers have crashed
    Then it is shown as failed
    And no more than five workers have crashed under it
