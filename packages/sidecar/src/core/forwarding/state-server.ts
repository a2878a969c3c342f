import type { IncomingMessage, ServerResponse } from 'node:http'
import { formatReadAnswer, parseRead } from '../attribution/index.js'
import type { Configuration } from '../configuration/index.js'
import type { Headers } from '../exchange/index.js'
import type { SharedState } from '../following/index.js'
import { configurationPath, maxSharedConfigurationBytes, statePath } from './constants.js'
import { compressJson } from './compression.js'
import { respond } from './respond.js'

/** Response headers of compressed data for another node. */
const compressedHeaders = ['content-type', 'application/octet-stream']

const emptyBody = Buffer.alloc(0)

/**
 * Serves the state or the configuration of this node to another one. Each answer names the read that it belongs to; a request
 * that is not a read gets 404.
 * @param readState returns the state that this node serves to others; undefined before it has a configuration
 */
export async function serveState (request: IncomingMessage, response: ServerResponse, readState: () => SharedState | undefined): Promise<void> {
  request.resume()
  const mark = parseRead(request.url ?? '', request.rawHeaders)
  const headers = mark === undefined ? [] : formatReadAnswer(mark)
  if (mark?.path === statePath) respondState(response, headers, readState())
  else if (mark?.path === configurationPath) respondConfiguration(response, headers, readState()?.configuration)
  else respond(response, 404, ['connection', 'close', ...headers], emptyBody)
}

function respondState (response: ServerResponse, headers: Headers, state: SharedState | undefined): void {
  if (state === undefined) respond(response, 503, headers, emptyBody)
  else respond(response, 200, [...headers, ...compressedHeaders], compressJson(state))
}

/**
 * Responds without a body when the configuration is too large to serve: many nodes can read it from the store at the
 * same time.
 */
function respondConfiguration (response: ServerResponse, headers: Headers, configuration: Configuration | undefined): void {
  if (configuration === undefined) return respond(response, 503, headers, emptyBody)
  const body = compressJson(configuration)
  if (body.length > maxSharedConfigurationBytes) respond(response, 204, headers, emptyBody)
  else respond(response, 200, [...headers, ...compressedHeaders], body)
}
