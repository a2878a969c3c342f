import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Logger } from '../../src/index.js'

const logger = suite('logger')

logger('an event at or above the level is written as one line of pairs', () => {
  const lines: string[] = []
  const log = Logger.create('info', line => { lines.push(line) }).label('relay')
  log.debug('quiet')
  log.warn('region-apart', { region: 'kochi' })
  assert.is(lines.length, 1)
  assert.match(lines[0] as string, /level=warn subsystem=relay event=region-apart region=kochi$/)
})

logger.run()
