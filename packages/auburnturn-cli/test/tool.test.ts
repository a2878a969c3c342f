import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SingleNode } from './fixtures/single-node.js'
import { runToolWith } from './fixtures/terminal.js'

const profiles = fileURLToPath(new URL('../../../auburnturn/profiles/', import.meta.url))

const tool = suite('tool')
let folder = ''
let singleNode: SingleNode

tool.before(async () => {
  folder = mkdtempSync(join(tmpdir(), 'auburnturn-test-'))
  singleNode = await SingleNode.create()
})

tool.after(async () => {
  rmSync(folder, { recursive: true })
  await singleNode.close()
})

function writeDocument (name: string, text: string): string {
  const file = join(folder, name)
  writeFileSync(file, text)
  return file
}

tool('check accepts the shipped profiles without a warning', async () => {
  const { code, output, errorOutput } = await runToolWith('check', '--strict', ...['catalogue-pages', 'orders', 'internal-checks'].map(name => join(profiles, `${name}.jsonc`)))
  assert.is(errorOutput, '')
  assert.is(output, '3 checked (profile, profile, profile): errors 0, warnings 0')
  assert.is(code, 0)
})

tool('check lists every error with its position and exits with 2', async () => {
  const file = writeDocument('bad.jsonc', '{\n  "note": "x",\n  "retry": { "attempts": 0 },\n  "slots": 3\n}')
  const { code, errorOutput } = await runToolWith('check', file)
  assert.is(code, 2)
  assert.equal(errorOutput.split('\n').map(line => line.slice(file.length, file.length + 16)), [':3:14: retry.att', ':4:3: slots: fou'])
})

tool('check warns about a risky value at the position of its key, and fails only with --strict', async () => {
  const file = writeDocument('risky.jsonc', '{ "note": "x", "idempotency": { "methods": ["GET", "POST"] } }')
  const withoutStrict = await runToolWith('check', file)
  assert.is(withoutStrict.code, 0)
  assert.match(withoutStrict.errorOutput, ':1:52: idempotency.methods.1: warning: every POST may run more than once')
  assert.is((await runToolWith('check', '--strict', file)).code, 2)
})

tool('check infers the kind of a document from its keys', async () => {
  assert.match((await runToolWith('check', writeDocument('service.jsonc', '{ "profile": "orders" }'))).output, '(service)')
  assert.match((await runToolWith('check', writeDocument('node.jsonc', '{ "upstream": {} }'))).output, '(settings)')
  assert.match((await runToolWith('check', '--kind', 'service', writeDocument('empty.jsonc', '{}'))).errorOutput, 'profile: found nothing')
})

tool('dump prints all parts of the state or one of them', async () => {
  const dump = await runToolWith('dump', singleNode.operatorAddress)
  assert.is(dump.code, 0)
  assert.is(JSON.parse(dump.output).node.id, 'orders-1')
  assert.is(JSON.parse((await runToolWith('dump', singleNode.operatorAddress, 'admission')).output).running, 0)
})

tool('dump of an unknown part lists the known parts', async () => {
  const { code, errorOutput } = await runToolWith('dump', singleNode.operatorAddress, 'nothing')
  assert.is(code, 2)
  assert.match(errorOutput, /^auburnturn: found part "nothing"; allowed: .*admission/)
})

tool('status prints one row per node, or JSON', async () => {
  const table = await runToolWith('status', singleNode.operatorAddress)
  assert.match(table.output, /^NODE +SERVICE +STATE/)
  assert.match(table.output, /orders-1 +orders +serving/)
  const { nodes } = JSON.parse((await runToolWith('status', '--json', singleNode.operatorAddress)).output)
  assert.is(nodes[0].node, 'orders-1')
  assert.is(nodes[0].members, 1)
})

tool('status skips an unreachable node and exits with 1', async () => {
  const { code, output, errorOutput } = await runToolWith('status', singleNode.operatorAddress, '127.0.0.1:1')
  assert.is(code, 1)
  assert.match(output, 'orders-1')
  assert.is(errorOutput, 'auburnturn: No answer from 127.0.0.1:1: connection refused.')
})

tool('call prints the verdict and the response of the upstream', async () => {
  const { code, output } = await runToolWith('call', singleNode.callersAddress, 'orders', '/list?page=2', '--method', 'post', '--body', 'abc')
  assert.is(code, 0)
  assert.match(output, /^verdict {2}done: /)
  assert.match(output, /^way {6}orders-1$/m)
  assert.match(output, '"method":"POST","path":"/list?page=2","bytes":3')
})

tool('call of an unknown service exits with 3, the code of not-run', async () => {
  const { code, output } = await runToolWith('call', `http://${singleNode.callersAddress}`, 'nowhere', '/', '--json')
  assert.is(code, 3)
  assert.is(JSON.parse(output).cause, 'unknown-service')
})

tool('call exits with 3 when nothing listens and with 4 when the connection is lost before the response', async () => {
  assert.is((await runToolWith('call', '127.0.0.1:1', 'orders', '/')).code, 3)
  const server = createServer(request => { request.socket.destroy() })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { code, output } = await runToolWith('call', `127.0.0.1:${(server.address() as AddressInfo).port}`, 'orders', '/')
  assert.is(code, 4)
  assert.match(output, 'may-have-run: the request may have run')
  await new Promise(resolve => server.close(resolve))
})

tool('schema prints a JSON schema for editors', async () => {
  const { code, output } = await runToolWith('schema', 'service')
  assert.is(code, 0)
  assert.equal(JSON.parse(output).required, ['profile'])
})

for (const [name, args] of [
  ['no command', []],
  ['an unknown command', ['explode']],
  ['an unknown flag', ['status', '--jason', '127.0.0.1:1']],
  ['a missing argument', ['dump']],
  ['an unknown kind', ['schema', 'node']],
  ['a host name instead of an IP address', ['dump', 'localhost:80']],
  ['a port out of range', ['dump', '127.0.0.1:99999']],
  ['an invalid timeout', ['call', '127.0.0.1:1', 'orders', '/', '--timeout', 'soon']],
  ['a missing file', ['check', 'no-such-file.jsonc']]
] as const) {
  tool(`${name} is reported in at most two lines and exits with 2`, async () => {
    const { code, errorOutput } = await runToolWith(...args)
    assert.is(code, 2)
    assert.match(errorOutput, /^auburnturn: \S/)
    assert.not.match(errorOutput, /\n {4}at /)
    assert.ok(errorOutput.split('\n').length <= 2, errorOutput)
  })
}

tool('an unreachable node is reported in one line with a hint and exits with 1', async () => {
  const { code, errorOutput } = await runToolWith('dump', '127.0.0.1:1')
  assert.is(code, 1)
  assert.match(errorOutput, /^auburnturn: No answer from 127\.0\.0\.1:1: connection refused\.\nHint: [^\n]+$/)
})

tool('help and version are printed and exit with 0', async () => {
  const help = await runToolWith('--help')
  assert.is(help.code, 0)
  assert.match(help.output, 'status <addresses..>')
  assert.match((await runToolWith('--version')).output, /^\d+\.\d+\.\d+$/)
})

tool.run()
