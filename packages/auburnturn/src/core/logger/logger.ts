import './enable-roarr.js'
import { Roarr, ROARR } from 'roarr'
import { formatEvent } from './format.js'
import type { Fields, Level } from './types.js'

// Lines are formatted and written here; roarr's own JSON output stays off.
ROARR.write = () => {}

type Write = (line: string) => void

const rank: Record<Level, number> = { debug: 20, info: 30, warn: 40, error: 50 }

/** Writes events of one subsystem; passed to each part, never global. */
export class Logger {
  private readonly subsystem: string
  private readonly level: Level
  private readonly write: Write

  private constructor (subsystem: string, level: Level, write: Write) {
    this.subsystem = subsystem
    this.level = level
    this.write = write
  }

  /** `write` receives whole lines without a line end; standard error unless given. */
  static create (level: Level = 'info', write: Write = line => { process.stderr.write(`${line}\n`) }): Logger {
    return new Logger('auburnturn', level, write)
  }

  /** A logger that drops everything. */
  static createSilent (): Logger {
    return new Logger('silent', 'error', () => {})
  }

  /** The same logger under the name of a subsystem. */
  label (subsystem: string): Logger {
    return new Logger(subsystem, this.level, this.write)
  }

  debug (event: string, fields: Fields = {}): void { this.emit('debug', event, fields) }
  info (event: string, fields: Fields = {}): void { this.emit('info', event, fields) }
  warn (event: string, fields: Fields = {}): void { this.emit('warn', event, fields) }
  error (event: string, fields: Fields = {}): void { this.emit('error', event, fields) }

  private emit (level: Level, event: string, fields: Fields): void {
    if (rank[level] < rank[this.level]) return
    const roarr = Roarr.child(message => {
      this.write(formatEvent(message.time, level, this.subsystem, event, fields))
      return message
    })
    roarr[level](event)
  }
}
