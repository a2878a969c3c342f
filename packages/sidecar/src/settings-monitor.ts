import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Settings } from './core/settings.js'

/** Looks for changed settings now and then, and when it is told to. */
export class SettingsMonitor {
  private readonly options: SettingsMonitorOptions
  private readonly cancel: Cancel
  private lastText: string

  private constructor (options: SettingsMonitorOptions) {
    this.options = options
    this.lastText = JSON.stringify(options.settings)
    this.cancel = options.clock.every(options.checkIntervalMs, () => { this.check() })
  }

  static create (options: SettingsMonitorOptions): SettingsMonitor {
    return new SettingsMonitor(options)
  }

  /** Reads the settings; those that are not valid leave the old ones in force. */
  check (): void {
    const { readSettings: read, logger, onChange } = this.options
    try {
      const settings = read()
      const text = JSON.stringify(settings)
      if (text === this.lastText) return
      this.lastText = text
      onChange(settings)
    } catch (error) {
      logger.warn('settings-reload-failed', { error: (error as Error).message })
    }
  }

  close (): void {
    this.cancel()
  }
}

interface SettingsMonitorOptions {
  /** Those in force. */
  readonly settings: Settings
  /** Reads the present ones; throws when they are not valid. */
  readonly readSettings: () => Settings
  readonly clock: Clock
  readonly logger: Logger
  readonly checkIntervalMs: number
  readonly onChange: (settings: Settings) => void
}
