import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { checkHistory, historyRules } from '../../src/index.js'
import type { HistoryEvent, RuleName } from '../../src/index.js'

const checker = suite('history checker')

const budget = { messagesPerSecond: 2, bytesPerSecond: 100 }

function sent (sending: string, call: string, mode: 'idempotent' | 'plain' | 'ticketed' = 'plain'): HistoryEvent {
  return { kind: 'call-sent', at: 0, sending, call, idempotent: mode === 'idempotent', ticketed: mode === 'ticketed', timeoutMs: 5_000 }
}

function started (execution: string, sending: string, call: string): HistoryEvent {
  return { kind: 'execution-started', at: 0, execution, sending, call, target: 'orders-1' }
}

function workSent (sending: string, at: number, target = 'orders-1'): HistoryEvent {
  return { kind: 'work-sent', at, sending, target }
}

function ended (execution: string, how: 'whole' | 'failed' | 'cut' = 'whole', content = execution, at = 0): HistoryEvent {
  return { kind: 'execution-ended', at, execution, how, content }
}

function head (sending: string, execution: string): HistoryEvent {
  return { kind: 'answer-head', at: 0, sending, execution }
}

function answered (sending: string, execution: string, whole = true, content = execution, at = 0): HistoryEvent {
  return { kind: 'answer-ended', at, sending, execution, whole, content }
}

function refused (sending: string, verdict: 'not-run' | 'may-have-run' = 'not-run'): HistoryEvent {
  return { kind: 'refused', at: 0, sending, verdict, cause: 'overloaded' }
}

function inForce (version: number, at = 0, node = 'orders-1'): HistoryEvent {
  return { kind: 'configuration-in-force', at, node, key: 'profile/orders', version }
}

function spent (messages: number, bytes: number, at: number): HistoryEvent {
  return { kind: 'measuring-spent', at, node: 'orders-1', messages, bytes, budget }
}

const accepted: HistoryEvent = { kind: 'configuration-accepted', at: 0, key: 'profile/orders', version: 2, nodes: ['orders-1'] }
const leave: HistoryEvent = { kind: 'leave-seen', at: 0, target: 'orders-1', newWorkMs: 2_000 }
const shutdown: HistoryEvent = { kind: 'shutdown-started', at: 0, target: 'orders-1' }
const failed: HistoryEvent = { kind: 'target-failed', at: 0, target: 'orders-1' }

function endAt (at: number): HistoryEvent {
  return { kind: 'history-ended', at }
}

/** Each history violates the listed rule exactly once, and no other rule. */
const violatingHistories: ReadonlyArray<readonly [RuleName, string, readonly HistoryEvent[]]> = [
  ['measuring-budget', 'too many messages', [spent(2, 1, 0), spent(1, 1, 400)]],
  ['measuring-budget', 'too many bytes', [spent(1, 101, 0)]],
  ['measuring-budget', 'an hour without messages allows one burst only', [spent(1, 1, 0), spent(3, 1, 3_600_000)]],
  ['whole-answer', 'an answer that its upstream aborted is accepted as complete', [sent('s', 'c'), started('e', 's', 'c'), head('s', 'e'), ended('e', 'failed'), answered('s', 'e')]],
  ['whole-answer', 'the received content differs from the sent content', [sent('s', 'c'), started('e', 's', 'c'), ended('e'), head('s', 'e'), answered('s', 'e', true, 'other')]],
  ['whole-answer', 'two answers', [sent('s', 'c', 'idempotent'), started('e', 's', 'c'), ended('e'), answered('s', 'e'), answered('s', 'e')]],
  ['whole-answer', 'an answer and a refusal', [sent('s', 'c'), started('e', 's', 'c'), ended('e'), answered('s', 'e'), refused('s', 'may-have-run')]],
  ['whole-answer', 'the head of another caller\'s answer', [sent('s', 'c'), sent('t', 'd'), started('e', 't', 'd'), head('s', 'e'), ended('e')]],
  ['whole-answer', 'an answer of an unknown execution', [sent('s', 'c'), head('s', 'e')]],
  ['true-refusal', 'the sending ran before the refusal', [sent('s', 'c'), started('e', 's', 'c'), refused('s')]],
  ['true-refusal', 'the sending ran after the refusal', [sent('s', 'c'), refused('s'), started('e', 's', 'c')]],
  ['true-refusal', 'a sending of an idempotent call ran', [sent('s', 'c', 'idempotent'), started('e', 's', 'c'), refused('s')]],
  ['true-refusal', 'an earlier sending with the same ticket ran', [sent('s', 'c', 'ticketed'), started('e', 's', 'c'), refused('s', 'may-have-run'), sent('t', 'c', 'ticketed'), refused('t')]],
  ['at-most-once', 'one sending ran twice', [sent('s', 'c'), started('e', 's', 'c'), started('f', 's', 'c')]],
  ['at-most-once', 'two sendings with the same ticket ran', [sent('s', 'c', 'ticketed'), sent('t', 'c', 'ticketed'), started('e', 's', 'c'), started('f', 't', 'c')]],
  ['no-work-after-leave', 'work is sent after the allowed time', [leave, sent('s', 'c'), workSent('s', 2_001)]],
  ['drain-cuts-nothing', 'an execution is aborted', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'cut')]],
  ['drain-cuts-nothing', 'the execution completes, its answer is aborted', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e'), answered('s', 'e', false)]],
  ['drain-cuts-nothing', 'an answer is aborted just before its deadline', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'whole', 'e', 4_900), answered('s', 'e', false, '', 4_999)]],
  ['configuration-forward', 'the active version decreases', [inForce(2), inForce(1)]],
  ['configuration-forward', 'a version becomes active too late', [accepted, inForce(2, 10_001), endAt(10_002)]]
]

for (const [rule, description, events] of violatingHistories) {
  checker(`${rule} is violated: ${description}`, () => {
    assert.equal(checkHistory(events).map(violation => violation.rule), [rule])
  })
}

/** Histories that violate no rule, including borderline cases. */
const validHistories: ReadonlyArray<readonly [string, readonly HistoryEvent[]]> = [
  ['nothing happened', []],
  ['a complete answer', [sent('s', 'c'), started('e', 's', 'c'), head('s', 'e'), ended('e'), answered('s', 'e')]],
  ['an aborted answer that the caller does not accept as complete', [sent('s', 'c'), started('e', 's', 'c'), head('s', 'e'), ended('e', 'failed'), answered('s', 'e', false)]],
  ['an idempotent call ran twice', [sent('s', 'c', 'idempotent'), started('e', 's', 'c'), started('f', 's', 'c'), ended('f'), answered('s', 'f')]],
  ['a caller sent a call twice without a ticket', [sent('s', 'c'), started('e', 's', 'c'), sent('t', 'c'), started('f', 't', 'c')]],
  ['a refusal as may have run of a sending that ran', [sent('s', 'c'), started('e', 's', 'c'), refused('s', 'may-have-run')]],
  ['a recorded answer for a repeated sending', [sent('s', 'c', 'ticketed'), started('e', 's', 'c'), ended('e'), answered('s', 'e'), sent('t', 'c', 'ticketed'), head('t', 'e'), answered('t', 'e')]],
  ['a sending refused while another one with its ticket was in flight, which then ran', [sent('s', 'c', 'ticketed'), sent('t', 'c', 'ticketed'), refused('t'), started('e', 's', 'c')]],
  ['a refused sending, and a later sending with the same ticket that ran', [sent('s', 'c', 'ticketed'), refused('s'), sent('t', 'c', 'ticketed'), started('e', 't', 'c')]],
  ['work within the allowed time after a leave, and later work at another target', [leave, sent('s', 'c'), workSent('s', 2_000), started('e', 's', 'c'), sent('t', 'd'), workSent('t', 9_000, 'orders-2')]],
  ['a crash during a shutdown', [sent('s', 'c'), started('e', 's', 'c'), shutdown, failed, ended('e', 'cut')]],
  ['a caller that disconnected during a shutdown', [sent('s', 'c'), started('e', 's', 'c'), shutdown, { kind: 'caller-left', at: 0, sending: 's' }, ended('e', 'cut')]],
  ['a deadline that expired during a shutdown', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'cut', 'e', 5_000)]],
  ['an execution that completed during a shutdown, its answer aborted at the deadline', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'whole', 'e', 4_990), answered('s', 'e', false, '', 5_000)]],
  ['an upstream that failed by itself during a shutdown', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'failed'), answered('s', 'e', false)]],
  ['an execution that was aborted before the shutdown', [sent('s', 'c'), started('e', 's', 'c'), ended('e', 'cut'), shutdown]],
  ['active versions that stay the same or increase', [accepted, inForce(1), inForce(1), inForce(2, 10_000), endAt(20_000)]],
  ['a version that is not yet active when the history ends early', [accepted, endAt(9_999)]],
  ['measuring that uses up the budget', [spent(2, 100, 0), spent(1, 50, 500), spent(2, 100, 1_500)]]
]

for (const [description, events] of validHistories) {
  checker(`no rule is violated: ${description}`, () => { assert.equal(checkHistory(events), []) })
}

checker('every rule has a history that violates it', () => {
  assert.equal([...new Set(violatingHistories.map(([rule]) => rule))].sort(), Object.keys(historyRules).sort())
})

checker.run()
