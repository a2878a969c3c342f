import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { checkHistory, historyRules } from '../../src/index.js'
import type { HistoryEvent, RuleName } from '../../src/index.js'

const checker = suite('history checker')

const budget = { messagesPerSecond: 2, bytesPerSecond: 100 }

function sent (sending: string, call: string, how: 'idempotent' | 'plain' | 'ticketed' = 'plain'): HistoryEvent {
  return { kind: 'call-sent', at: 0, sending, call, idempotent: how === 'idempotent', ticketed: how === 'ticketed', timeoutMs: 5_000 }
}

function started (execution: string, sending: string, call: string): HistoryEvent {
  return { kind: 'execution-started', at: 0, execution, sending, call, target: 'orders-1' }
}

function handed (sending: string, at: number, target = 'orders-1'): HistoryEvent {
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

/** Each history breaks the promise that it is listed under once, and no other. */
const broken: ReadonlyArray<readonly [RuleName, string, readonly HistoryEvent[]]> = [
  ['measuring-budget', 'too many messages', [spent(2, 1, 0), spent(1, 1, 400)]],
  ['measuring-budget', 'too many bytes', [spent(1, 101, 0)]],
  ['measuring-budget', 'an hour of silence saves up one burst only', [spent(1, 1, 0), spent(3, 1, 3_600_000)]],
  ['whole-answer', 'an answer that its upstream broke off', [sent('s', 'c'), started('e', 's', 'c'), head('s', 'e'), ended('e', 'failed'), answered('s', 'e')]],
  ['whole-answer', 'content that changed', [sent('s', 'c'), started('e', 's', 'c'), ended('e'), head('s', 'e'), answered('s', 'e', true, 'other')]],
  ['whole-answer', 'two answers', [sent('s', 'c', 'idempotent'), started('e', 's', 'c'), ended('e'), answered('s', 'e'), answered('s', 'e')]],
  ['whole-answer', 'an answer and a refusal', [sent('s', 'c'), started('e', 's', 'c'), ended('e'), answered('s', 'e'), refused('s', 'may-have-run')]],
  ['whole-answer', 'the head of another caller\'s answer', [sent('s', 'c'), sent('t', 'd'), started('e', 't', 'd'), head('s', 'e'), ended('e')]],
  ['whole-answer', 'an answer of no execution', [sent('s', 'c'), head('s', 'e')]],
  ['true-refusal', 'it ran before', [sent('s', 'c'), started('e', 's', 'c'), refused('s')]],
  ['true-refusal', 'it ran after it was told', [sent('s', 'c'), refused('s'), started('e', 's', 'c')]],
  ['true-refusal', 'an idempotent call counts too', [sent('s', 'c', 'idempotent'), started('e', 's', 'c'), refused('s')]],
  ['true-refusal', 'an earlier sending of the ticket ran', [sent('s', 'c', 'ticketed'), started('e', 's', 'c'), refused('s', 'may-have-run'), sent('t', 'c', 'ticketed'), refused('t')]],
  ['at-most-once', 'one sending ran twice', [sent('s', 'c'), started('e', 's', 'c'), started('f', 's', 'c')]],
  ['at-most-once', 'two sendings of one ticket ran', [sent('s', 'c', 'ticketed'), sent('t', 'c', 'ticketed'), started('e', 's', 'c'), started('f', 't', 'c')]],
  ['no-work-after-leave', 'work starts too late', [leave, sent('s', 'c'), handed('s', 2_001)]],
  ['drain-cuts-nothing', 'an execution is cut', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'cut')]],
  ['drain-cuts-nothing', 'only its answer is cut', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e'), answered('s', 'e', false)]],
  ['drain-cuts-nothing', 'an answer is cut just before its deadline', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'whole', 'e', 4_900), answered('s', 'e', false, '', 4_999)]],
  ['configuration-forward', 'a version goes back', [inForce(2), inForce(1)]],
  ['configuration-forward', 'a node lags', [accepted, inForce(2, 10_001), endAt(10_002)]]
]

for (const [rule, what, events] of broken) {
  checker(`${rule} is found broken: ${what}`, () => {
    assert.equal(checkHistory(events).map(violation => violation.rule), [rule])
  })
}

/** Histories in which every promise is kept, though some look suspicious. */
const sound: ReadonlyArray<readonly [string, readonly HistoryEvent[]]> = [
  ['nothing happened', []],
  ['a whole answer', [sent('s', 'c'), started('e', 's', 'c'), head('s', 'e'), ended('e'), answered('s', 'e')]],
  ['an answer known to be cut', [sent('s', 'c'), started('e', 's', 'c'), head('s', 'e'), ended('e', 'failed'), answered('s', 'e', false)]],
  ['an idempotent call ran twice', [sent('s', 'c', 'idempotent'), started('e', 's', 'c'), started('f', 's', 'c'), ended('f'), answered('s', 'f')]],
  ['a caller sent a call without ticket twice', [sent('s', 'c'), started('e', 's', 'c'), sent('t', 'c'), started('f', 't', 'c')]],
  ['may have run after it ran', [sent('s', 'c'), started('e', 's', 'c'), refused('s', 'may-have-run')]],
  ['a recorded answer for a resend', [sent('s', 'c', 'ticketed'), started('e', 's', 'c'), ended('e'), answered('s', 'e'), sent('t', 'c', 'ticketed'), head('t', 'e'), answered('t', 'e')]],
  ['a ticket refused while another sending was out, which then ran', [sent('s', 'c', 'ticketed'), sent('t', 'c', 'ticketed'), refused('t'), started('e', 's', 'c')]],
  ['a refused ticket ran on a later sending', [sent('s', 'c', 'ticketed'), refused('s'), sent('t', 'c', 'ticketed'), started('e', 't', 'c')]],
  ['work soon after a leave and elsewhere', [leave, sent('s', 'c'), handed('s', 2_000), started('e', 's', 'c'), sent('t', 'd'), handed('t', 9_000, 'orders-2')]],
  ['a crash during a shutdown', [sent('s', 'c'), started('e', 's', 'c'), shutdown, failed, ended('e', 'cut')]],
  ['a caller that left during a shutdown', [sent('s', 'c'), started('e', 's', 'c'), shutdown, { kind: 'caller-left', at: 0, sending: 's' }, ended('e', 'cut')]],
  ['a deadline that expired during a shutdown', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'cut', 'e', 5_000)]],
  ['an answer cut at its deadline during a shutdown, of work that ended before', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'whole', 'e', 4_990), answered('s', 'e', false, '', 5_000)]],
  ['an upstream that failed by itself during a shutdown', [sent('s', 'c'), started('e', 's', 'c'), shutdown, ended('e', 'failed'), answered('s', 'e', false)]],
  ['work cut before the shutdown', [sent('s', 'c'), started('e', 's', 'c'), ended('e', 'cut'), shutdown]],
  ['versions that stay or grow', [accepted, inForce(1), inForce(1), inForce(2, 10_000), endAt(20_000)]],
  ['a node that lags when the history ends early', [accepted, endAt(9_999)]],
  ['measuring at the budget', [spent(2, 100, 0), spent(1, 50, 500), spent(2, 100, 1_500)]]
]

for (const [what, events] of sound) {
  checker(`no promise is found broken: ${what}`, () => { assert.equal(checkHistory(events), []) })
}

checker('every rule is broken at least once here', () => {
  assert.equal([...new Set(broken.map(([rule]) => rule))].sort(), Object.keys(historyRules).sort())
})

checker.run()
