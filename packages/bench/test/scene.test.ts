import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { playScene } from '../src/scene/play-scene.js'
import { scaleScene, scenes } from '../src/scene/scenes.js'
import type { RequestKind, Scene, SceneResult, Tally } from '../src/scene/types.js'

const test = suite('scene')

function findScene (name: string): Scene {
  const scene = scenes.find(other => other.name === name)
  if (scene === undefined) throw new Error(`no scene ${name}`)
  return scene
}

async function play (name: string, seed = 1): Promise<SceneResult> {
  return await playScene(findScene(name), seed)
}

function findKind ({ kinds }: SceneResult, name: string): Tally {
  return kinds.get(name) as Tally
}

/** Share of the worth that was earned. */
function readWorth ({ worthEarned, worthOwed }: Tally): number {
  return worthEarned / worthOwed
}

/** Share of the requests that were answered. */
function readServed ({ requests, inTime, late }: Tally): number {
  return (inTime + late) / requests
}

/** Share of the slot time that a service has left without slow moments, of what its requests need; at most 1. */
function computeCapacityShare (scene: Scene, service: string, targets: number, load: number): number {
  const group = scene.groups.find(other => other.service === service)
  if (group === undefined) throw new Error(`no targets of ${service}`)
  const usableSlots = targets * Math.floor(group.slots * 0.8) * (1 - group.noise.share)
  // A request holds its slot while its call runs.
  const holdMs = ({ workMs, call }: RequestKind): number => workMs + (call === undefined ? 0 : call.share * (scene.hopMs + (scene.kinds.find(({ name }) => name === call.kind)?.workMs ?? 0)))
  const neededSlots = scene.kinds.filter(kind => kind.service === service).reduce((sum, kind) => sum + kind.perSecond * load * holdMs(kind) / 1_000, 0)
  return Math.min(1, usableSlots / neededSlots)
}

test('the same seed plays the same scene, another seed another one', async () => {
  const [one, same, other] = [await play('short-limits'), await play('short-limits'), await play('short-limits', 2)]
  assert.equal(one, same)
  assert.is.not(one.total.requests, other.total.requests)
})

test('burst and too few targets: the callers are worth served what the capacity that is left allows', async () => {
  const scene = findScene('two-targets-less')
  const capacity = computeCapacityShare(scene, 'front', 5, 1.15)
  const result = await play(scene.name)
  assert.ok(readWorth(result.total) >= capacity * 0.9, `${readWorth(result.total)} with ${capacity} of the capacity`)
  // Urgent requests and those of the other service come first.
  assert.ok(readWorth(findKind(result, 'send')) >= 0.9)
  assert.ok(readWorth(findKind(result, 'filing')) >= 0.9)
})

test('overload: requests that are not served in time are refused early enough for another attempt, not answered late', async () => {
  for (const name of ['burst', 'two-targets-less', 'back-two-less']) {
    const { total } = await play(name)
    assert.ok(total.late <= total.requests * 0.1, `${name}: ${total.late} of ${total.requests} late`)
  }
})

test('targets that reject 55%: callers are served as often as two attempts at once allow', async () => {
  const { windows } = await play('shedding-targets')
  // Seconds 4 to 12, in which all targets of one service reject.
  for (const window of windows.slice(2, 6)) assert.ok(readServed(window) >= 1 - 0.55 ** 2, `${readServed(window)} served`)
})

test('one target rejects half: the others take its load, and no span falls below what they carry', async () => {
  const { total } = await play('one-sheds')
  assert.ok(readWorth(total) >= 0.95, `${readWorth(total)}`)
})

test('a refused request was offered to few targets: at overload, attempts stay below two a request', async () => {
  for (const { name } of scenes) {
    const { attempts, total } = await play(name)
    assert.ok(attempts < total.requests * 2, `${name}: ${attempts} attempts for ${total.requests} requests`)
  }
})

// Guards against requests above the rate limit that a target names, also just after restarts of the node beside it (LIMIT, issue 26).
test('targets that name a rate limit: all nodes together send at most one and a half times that in any 4 s, restarts included', async () => {
  for (const name of ['limited-targets', 'limited-called-targets']) {
    const { rateLimitUse } = await play(name)
    assert.ok(rateLimitUse <= 1.5, `${name}: ${rateLimitUse} times the limit`)
  }
})

test('work from a third to ten times as long is served no worse', async () => {
  for (const name of ['burst', 'two-targets-less']) {
    const usual = readWorth((await play(name)).total)
    for (const factor of [1 / 3, 10]) {
      const scaled = readWorth((await playScene(scaleScene(findScene(name), factor), 1)).total)
      assert.ok(scaled >= usual - 0.03, `${name} x${factor}: ${scaled} against ${usual}`)
    }
  }
})

test.run()
